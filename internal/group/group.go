package group

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/model"
)

// Group is a set of targets with one owner. Its targets are in one data centre,
// have one class and serve one base model or application.
type Group struct {
	Name        string
	Class       model.TargetClass
	BaseModel   string
	Application string
	DataCentre  string
	Region      string
	Targets     []model.Target // ordered by name
}

// Name returns the name of a target's group. The targets of one data centre, class
// and base model or application form a pool, which is divided into groupsPerPool
// groups by a hash of the target's name.
func Name(target model.Target, groupsPerPool int) string {
	index := uint64(0)
	if groupsPerPool > 1 {
		index = xxhash.Sum64String(target.Name) % uint64(groupsPerPool)
	}
	return fmt.Sprintf("%s.%s.%s.%d", target.DataCentre, target.Class, modelOrApplication(target), index)
}

// modelOrApplication returns the base model or the application that the target serves.
func modelOrApplication(target model.Target) string {
	if target.Class == model.ClassService {
		return target.Application
	}
	return target.BaseModel
}

// FromListing returns the groups of the listed targets, ordered by name.
func FromListing(targets []model.Target, groupsPerPool int) []Group {
	byName := map[string]*Group{}
	for _, target := range targets {
		name := Name(target, groupsPerPool)
		group := byName[name]
		if group == nil {
			group = &Group{
				Name: name, Class: target.Class, BaseModel: target.BaseModel, Application: target.Application,
				DataCentre: target.DataCentre, Region: target.Region,
			}
			byName[name] = group
		}
		group.Targets = append(group.Targets, target)
	}
	return sortedGroups(byName)
}

// sortedGroups returns the groups ordered by name, with the targets of each ordered
// by name.
func sortedGroups(byName map[string]*Group) []Group {
	groups := make([]Group, 0, len(byName))
	for _, group := range byName {
		targets := group.Targets
		sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
		groups = append(groups, *group)
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}
