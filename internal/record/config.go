package record

// Config is the section "records" of the settings. The JSON schema in package installation bounds its values.
type Config struct {
	Dir               string  `json:"dir"`
	SegmentMB         float64 `json:"segment_mb"` // size at which a segment is closed
	TotalMB           float64 `json:"total_mb"`   // limit for all segments in the folder; the oldest are deleted first
	MaxAgeHours       float64 `json:"max_age_h"`  // age at which a segment is deleted; 0 means no limit
	FailuresPerSecond int     `json:"samples"`    // maximum number of RequestFailure records per second
}

// DefaultConfig has the defaults of the fields that the settings leave out.
var DefaultConfig = Config{SegmentMB: 8, TotalMB: 256, MaxAgeHours: 168, FailuresPerSecond: 20}

const bytesPerMB = 1 << 20

func (c *Config) segmentBytes() float64 { return c.SegmentMB * bytesPerMB }

func (c *Config) totalBytes() float64 { return c.TotalMB * bytesPerMB }
