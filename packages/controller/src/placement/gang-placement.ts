/** Placement of gangs: jobs whose tasks must all run at the same time. */
import { NO_RESOURCES, multiplyResources, resourcesOf, taskSlots } from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { MachineCapacity } from './machine-capacity.js';
import type { TeamCapacity } from './team-capacity.js';

/**
 * Whether all waiting tasks of a gang fit now. If not, none is placed and no capacity is
 * reserved. For a gang that must stay in one zone, the first zone in which it fits is stored in
 * `job.placement.gangZone`.
 */
export function fitGang(job: LiveJob, machines: MachineCapacity[], teams: TeamCapacity): boolean {
  const { count } = job.openTasks;
  const requested = resourcesOf(job.spec);
  const all = { ...multiplyResources(requested, count), memoryGb: NO_RESOURCES.memoryGb };
  if (!teams.isWithinLimit(job, all)) return false;
  const fitsOn = (candidates: MachineCapacity[]) =>
    candidates.reduce((sum, { free }) => sum + taskSlots(requested, free), 0) >= count;
  if (!job.spec.oneZone) return fitsOn(machines);
  for (const zone of new Set(machines.map(({ machine }) => machine.zone))) {
    if (!fitsOn(machines.filter(({ machine }) => machine.zone === zone))) continue;
    job.placement.gangZone = zone;
    return true;
  }
  return false;
}
