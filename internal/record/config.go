package record

// Config is the section "records" of the settings; the schema in package site bounds its values.
type Config struct {
	Dir               string  `json:"dir"`
	SegmentMB         float64 `json:"segment_mb"` // a segment of that size is closed
	TotalMB           float64 `json:"total_mb"`   // of all segments in the folder; the oldest are deleted
	MaxAgeHours       float64 `json:"max_age_h"`  // older segments are deleted; 0 keeps them
	FailuresPerSecond int     `json:"samples"`    // RequestFailure records written per second
}

// DefaultConfig has the values of fields that the settings leave out.
var DefaultConfig = Config{SegmentMB: 8, TotalMB: 256, MaxAgeHours: 168, FailuresPerSecond: 20}

const bytesPerMB = 1 << 20

func (c *Config) segmentBytes() float64 { return c.SegmentMB * bytesPerMB }

func (c *Config) totalBytes() float64 { return c.TotalMB * bytesPerMB }
