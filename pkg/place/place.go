// Package place describes the data centres of a site.
package place

// Place is one data centre, or one zone of a region.
type Place struct {
	// name is unique in a site and matches the site's name pattern.
	name string
	// region is the name of a group of nearby places.
	region string
}

// New returns the place called name in region.
func New(name, region string) Place {
	return Place{name: name, region: region}
}

// Name returns the place's unique name.
func (p Place) Name() string { return p.name }

// Region returns the name of the place's region.
func (p Place) Region() string { return p.region }
