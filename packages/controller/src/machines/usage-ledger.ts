/** Sums over bindings: by team and by zone. */
import { NO_RESOURCES, subtractResources, addResources, type Resources } from '@tealdock/scheduler';
import type { Binding } from '../jobs/binding.js';

interface TeamSums {
  /** Everything bound to the team, the unproven too. */
  bound: Resources;
  /** The part of it that is being stopped. */
  stopping: Resources;
}

const NO_SUMS: TeamSums = { bound: NO_RESOURCES, stopping: NO_RESOURCES };
const NO_ZONES: ReadonlyMap<string, number> = new Map();

/**
 * Sums over all bindings, kept as bindings come and go: with thousands of them,
 * adding them up for each decision would take longer than the decisions.
 */
export class UsageLedger {
  private readonly teams = new Map<string, TeamSums>();
  private readonly zones = new Map<string, Map<string, number>>();

  add(binding: Binding, zone: string): void {
    this.count(binding, addResources);
    const zones = this.zones.get(binding.job) ?? new Map<string, number>();
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
    this.zones.set(binding.job, zones);
  }

  remove(binding: Binding, zone: string): void {
    this.count(binding, subtractResources);
    const zones = this.zones.get(binding.job);
    if (!zones) return;
    const left = (zones.get(zone) ?? 0) - 1;
    if (left > 0) zones.set(zone, left);
    else zones.delete(zone);
    if (zones.size === 0) this.zones.delete(binding.job);
  }

  /** Applies a change of a binding's team, resources or stop request. */
  change(binding: Binding, apply: () => void): void {
    this.count(binding, subtractResources);
    apply();
    this.count(binding, addResources);
  }

  teamUse(team: string): Resources {
    return (this.teams.get(team) ?? NO_SUMS).bound;
  }

  /** What stays bound to a team once all that is being stopped is gone. */
  teamStaying(team: string): Resources {
    const sums = this.teams.get(team) ?? NO_SUMS;
    return subtractResources(sums.bound, sums.stopping);
  }

  zonesOf(job: string): ReadonlyMap<string, number> {
    return this.zones.get(job) ?? NO_ZONES;
  }

  private count(binding: Binding, operation: typeof addResources): void {
    const sums = this.teams.get(binding.team) ?? NO_SUMS;
    this.teams.set(binding.team, {
      bound: operation(sums.bound, binding.resources),
      stopping: binding.stopRequest ? operation(sums.stopping, binding.resources) : sums.stopping,
    });
  }
}
