// Package installation reads the settings of an installation, which the platform's configuration does not have: one
// JSON file, such as deploy/windflow.json, with a section for each part of the program. A part without a section is
// off.
package installation
