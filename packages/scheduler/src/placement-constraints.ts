/** Constraints on the machines on which a job may be placed. */
import type { JobSpec, MachineType, Team } from '@tealdock/wire';
import {
  RESOURCE_EPSILON,
  fits,
  machineResources,
  resourcesOf,
  type Resources,
} from './resources.js';

/** The spot machines, or all others, of one type in one zone. */
export interface MachinePool {
  type: string;
  zone: string;
  spot: boolean;
}

/** Number of bound tasks of one job by zone. A task counts until its end is proven. */
export type TaskCountByZone = ReadonlyMap<string, number>;

/** Whether a job may use machines of the type. */
export function isTypeAllowed(spec: JobSpec, type: string): boolean {
  return spec.types === null || spec.types.includes(type);
}

/**
 * Whether one more task of a job may be placed on a machine of the pool, given the job's bound
 * tasks. A spread job may have at most half of its tasks, rounded up, in one zone.
 */
export function isPlacementAllowed(
  spec: JobSpec,
  pool: MachinePool,
  boundTasks: TaskCountByZone,
): boolean {
  if (!isTypeAllowed(spec, pool.type)) return false;
  if (pool.spot && !spec.spot) return false;
  if (spec.zone !== null && spec.zone !== pool.zone) return false;
  if (spec.oneZone && hasTasksElsewhere(boundTasks, pool.zone)) return false;
  if (!spec.spread) return true;
  return (boundTasks.get(pool.zone) ?? 0) + 1 <= Math.ceil(spec.taskCount / 2);
}

const hasTasksElsewhere = (boundTasks: TaskCountByZone, zone: string): boolean =>
  [...boundTasks].some(([otherZone, count]) => count > 0 && otherZone !== zone);

/** Whether a team would stay within its limit with the requested resources added. */
export function isWithinTeamQuota(team: Team, used: Resources, requested: Resources): boolean {
  return (
    used.cpus + requested.cpus <= team.maxCpus + RESOURCE_EPSILON &&
    used.gpus + requested.gpus <= team.maxGpus + RESOURCE_EPSILON
  );
}

/** The message for the user if a job can never run; null if it can. */
export function infeasibilityReason(
  spec: JobSpec,
  teams: Team[],
  types: MachineType[],
): string | null {
  const team = teams.find(({ name }) => name === spec.team);
  if (!team) return 'unknown team';
  const concurrentTasks = spec.kind === 'array' ? 1 : spec.taskCount;
  if (spec.cpus * concurrentTasks > team.maxCpus || spec.gpus * concurrentTasks > team.maxGpus) {
    return "over the team's limit";
  }
  const isFeasible = types.some(
    (type) =>
      isTypeAllowed(spec, type.name) &&
      fits(resourcesOf(spec), machineResources(type, spec.zone ?? '')) &&
      (spec.zone === null || type.zones.includes(spec.zone)),
  );
  return isFeasible ? null : 'no allowed machine type can hold a task';
}
