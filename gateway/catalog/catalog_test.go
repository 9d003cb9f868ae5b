package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
)

func TestRegions(t *testing.T) {
	tests := []struct {
		name      string
		route     catalog.Regions
		account   catalog.Regions
		allowed   []string
		forbidden []string
	}{
		{"no restriction", nil, nil, []string{"north", ""}, nil},
		{"route restricted", catalog.Regions{"north"}, nil, []string{"north"}, []string{"south", ""}},
		{"account restricted", nil, catalog.Regions{"north"}, []string{"north"}, []string{"south", ""}},
		{"both restricted", catalog.Regions{"north", "south"}, catalog.Regions{"south", "west"}, []string{"south"}, []string{"north", "west"}},
		{"both restricted, nothing in common", catalog.Regions{"north"}, catalog.Regions{"south"}, nil, []string{"north", "south", ""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			both := test.route.Intersect(test.account)
			for _, region := range test.allowed {
				require.True(t, both.Allows(region), region)
			}
			for _, region := range test.forbidden {
				require.False(t, both.Allows(region), region)
			}
		})
	}
}
