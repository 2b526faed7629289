/** Rules that bound where a job may be placed. */
import type { JobSpec, MachineType, Team } from '@tealdock/wire';
import { fits, resourcesOf, type Resources } from './resources.js';

/** Where a machine stands and what kind it is. */
export interface Place {
  type: string;
  zone: string;
  spot: boolean;
}

/** Bound tasks of one job by zone, the unproven ones included. */
export type ZoneCounts = ReadonlyMap<string, number>;

/** Whether a job may use machines of this type. */
export function typeAllowed(spec: JobSpec, type: string): boolean {
  return spec.types === null || spec.types.includes(type);
}

/** Type, zone and kind, given the job's other tasks at this moment. */
export function placeAllowed(spec: JobSpec, place: Place, bound: ZoneCounts): boolean {
  if (!typeAllowed(spec, place.type)) return false;
  if (place.spot && !spec.spot) return false;
  if (spec.zone !== null && spec.zone !== place.zone) return false;
  if (spec.oneZone && [...bound].some(([zone, n]) => n > 0 && zone !== place.zone)) return false;
  if (!spec.spread) return true;
  return (bound.get(place.zone) ?? 0) + 1 <= Math.ceil(spec.taskCount / 2);
}

/** Whether a team stays within its limit with what is wanted as well. */
export function withinTeamQuota(team: Team, used: Resources, requested: Resources): boolean {
  return (
    used.cpus + requested.cpus <= team.maxCpus + 1e-6 &&
    used.gpus + requested.gpus <= team.maxGpus + 1e-6
  );
}

/** Why a job can never run, or null. */
export function infeasibilityReason(
  spec: JobSpec,
  teams: Team[],
  types: MachineType[],
): string | null {
  const team = teams.find((t) => t.name === spec.team);
  if (!team) return 'unknown team';
  const atOnce = spec.kind === 'array' ? 1 : spec.taskCount;
  if (spec.cpus * atOnce > team.maxCpus || spec.gpus * atOnce > team.maxGpus) {
    return "over the team's limit";
  }
  const possible = types.some(
    (t) =>
      typeAllowed(spec, t.name) &&
      fits(resourcesOf(spec), t) &&
      (spec.zone === null || t.zones.includes(spec.zone)),
  );
  return possible ? null : 'no allowed machine type can hold a task';
}
