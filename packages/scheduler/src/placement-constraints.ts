/** Constraints on where a job may be placed. */
import type { JobSpec, MachineType, Team } from '@tealdock/wire';
import { RESOURCE_EPSILON, fits, resourcesOf, type Resources } from './resources.js';

/** Machines of one type in one zone, either spot or not. */
export interface MachinePool {
  type: string;
  zone: string;
  spot: boolean;
}

/** Bound tasks of one job by zone, including those whose end is not proven. */
export type TaskCountByZone = ReadonlyMap<string, number>;

/** Whether a job may use machines of this type. */
export function isTypeAllowed(spec: JobSpec, type: string): boolean {
  return spec.types === null || spec.types.includes(type);
}

/** Whether a task of a job may go to a machine of the pool, given the job's bound tasks. */
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

/** Whether a team stays within its limit with the requested resources as well. */
export function isWithinTeamQuota(team: Team, used: Resources, requested: Resources): boolean {
  return (
    used.cpus + requested.cpus <= team.maxCpus + RESOURCE_EPSILON &&
    used.gpus + requested.gpus <= team.maxGpus + RESOURCE_EPSILON
  );
}

/** Why a job can never run, as users read it; null if it can. */
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
      fits(resourcesOf(spec), type) &&
      (spec.zone === null || type.zones.includes(spec.zone)),
  );
  return isFeasible ? null : 'no allowed machine type can hold a task';
}
