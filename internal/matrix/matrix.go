// Package matrix is the fault matrix of bookings: every fault at every step of a
// booking's way, singly and in pairs, on fake time and with a seed.
package matrix
