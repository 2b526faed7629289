/** Sums over all bindings, by team and by zone. */
import { NO_RESOURCES, subtractResources, addResources, type Resources } from '@tealdock/scheduler';
import type { Binding } from '../jobs/binding.js';

/** Resource usage of one team. */
interface TeamUsage {
  /** Resources of all its bindings, including those whose start may have been lost. */
  readonly bound: Resources;
  /** The part of `bound` that belongs to tasks being stopped. */
  readonly stopping: Resources;
}

const NO_USAGE: TeamUsage = { bound: NO_RESOURCES, stopping: NO_RESOURCES };
const NO_ZONES: ReadonlyMap<string, number> = new Map();

/** Read-only view of the sums. */
export interface UsageView {
  /** Resources of all the team's bindings. */
  usageOf(team: string): Resources;
  /** Resources of the team's bindings that are not being stopped. */
  usageAfterStops(team: string): Resources;
  /** Number of a job's bindings by zone; zones without one are absent. */
  zoneCountsOf(job: string): ReadonlyMap<string, number>;
}

/**
 * Sums over all bindings, updated as bindings are added, changed and removed: adding up thousands
 * of them for each decision would take longer than the decisions. Bindings whose job still has to
 * be looked up count under the empty team, with zero resources.
 */
export class UsageLedger implements UsageView {
  private readonly teams = new Map<string, TeamUsage>();
  /** Number of bindings by job and zone. */
  private readonly zoneCounts = new Map<string, Map<string, number>>();

  /** Adds a binding on a machine in this zone. */
  add(binding: Binding, zone: string): void {
    this.updateTeam(binding, addResources);
    const counts = this.zoneCounts.get(binding.job) ?? new Map<string, number>();
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
    this.zoneCounts.set(binding.job, counts);
  }

  /** Removes a binding that was added with this zone. */
  remove(binding: Binding, zone: string): void {
    this.updateTeam(binding, subtractResources);
    const counts = this.zoneCounts.get(binding.job);
    if (!counts) return;
    const count = (counts.get(zone) ?? 0) - 1;
    if (count > 0) counts.set(zone, count);
    else counts.delete(zone);
    if (counts.size === 0) this.zoneCounts.delete(binding.job);
  }

  /** Applies a change of a binding's team, resources or stop request. */
  applyChange(binding: Binding, apply: () => void): void {
    this.updateTeam(binding, subtractResources);
    apply();
    this.updateTeam(binding, addResources);
  }

  usageOf(team: string): Resources {
    return (this.teams.get(team) ?? NO_USAGE).bound;
  }

  usageAfterStops(team: string): Resources {
    const usage = this.teams.get(team) ?? NO_USAGE;
    return subtractResources(usage.bound, usage.stopping);
  }

  zoneCountsOf(job: string): ReadonlyMap<string, number> {
    return this.zoneCounts.get(job) ?? NO_ZONES;
  }

  private updateTeam(binding: Binding, operation: typeof addResources): void {
    const usage = this.teams.get(binding.team) ?? NO_USAGE;
    const { resources } = binding;
    this.teams.set(binding.team, {
      bound: operation(usage.bound, resources),
      stopping: binding.stopRequest ? operation(usage.stopping, resources) : usage.stopping,
    });
  }
}
