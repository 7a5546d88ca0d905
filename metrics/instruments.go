package metrics

import (
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// instrumentCreator creates instruments and keeps the first error, so that the error is
// checked once for all of them.
type instrumentCreator struct {
	meter metric.Meter
	err   error
}

func (c *instrumentCreator) counter(i Instrument) metric.Int64Counter {
	instrument, err := c.meter.Int64Counter(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Meaning))
	c.recordError(i, err)
	return instrument
}

func (c *instrumentCreator) gauge(i Instrument) metric.Int64Gauge {
	instrument, err := c.meter.Int64Gauge(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Meaning))
	c.recordError(i, err)
	return instrument
}

func (c *instrumentCreator) floatGauge(i Instrument) metric.Float64Gauge {
	instrument, err := c.meter.Float64Gauge(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Meaning))
	c.recordError(i, err)
	return instrument
}

func (c *instrumentCreator) histogram(i Instrument) metric.Float64Histogram {
	instrument, err := c.meter.Float64Histogram(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Meaning),
		metric.WithExplicitBucketBoundaries(durationBucketBounds...))
	c.recordError(i, err)
	return instrument
}

func (c *instrumentCreator) recordError(i Instrument, err error) {
	if err != nil && c.err == nil {
		c.err = fmt.Errorf("instrument %s: %w", i.Name, err)
	}
}
