// Package installation reads the settings of an installation that are not part of the platform's configuration. They
// are in one JSON file, such as deploy/windflow.json, with a section for each part of the program. A part without a
// section is disabled.
package installation
