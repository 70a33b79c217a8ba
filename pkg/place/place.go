// Package place describes where VMs stand.
package place

// Place is one data centre or zone of a region.
type Place struct {
	// name is unique in a site and matches the site's name pattern.
	name string
	// region groups places that are near one another.
	region string
}

// New returns the place called name in region.
func New(name, region string) Place {
	return Place{name: name, region: region}
}

// Name returns the place's unique name.
func (p Place) Name() string { return p.name }

// Region returns the name of the region that holds the place.
func (p Place) Region() string { return p.region }
