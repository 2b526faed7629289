/** Free capacity of machines during a cycle, and which machines a job may use. */
import type { MachineType } from '@tealdock/wire';
import {
  addResources,
  isPlacementAllowed,
  type Resources,
  type TaskCountByZone,
} from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';

/** Free resources of one machine, updated during a cycle. */
export interface MachineCapacity {
  machine: Machine;
  type: MachineType;
  free: Resources;
  /** Free once all requested stops are done, less what this cycle has assigned or reserved. */
  freeAfterStops: Resources;
}

/** Free resources at the start of a cycle. Also sets the machine's cache size and fetch rate. */
export function capacityOf(machine: Machine, type: MachineType): MachineCapacity {
  const free = machine.free(type);
  machine.applyType(type);
  return { machine, type, free, freeAfterStops: addResources(free, machine.usage.stopping) };
}

/** Key of a job's requirements for machines: the same machines suit jobs with the same key. */
export function demandKey(job: LiveJob): string {
  const { cpus, gpus, memoryGb, types, zone, spot, oneZone, spread, kind } = job.spec;
  const jobKey = oneZone || spread || kind === 'gang' ? job.id : '';
  return `${cpus} ${gpus} ${memoryGb} ${types?.join(',') ?? '*'} ${zone ?? '*'} ${spot} ${jobKey}`;
}

/**
 * The machines on which tasks of a job may be placed, by type, zone and whether they are spot.
 * Without bindings, a gang that must stay in one zone is limited to its `gangZone`, if known.
 */
export function allowedMachines(
  job: LiveJob,
  machines: MachineCapacity[],
  boundTasks: TaskCountByZone,
): MachineCapacity[] {
  const gangZone = job.bindings.size > 0 ? null : job.placement.gangZone;
  return machines.filter(
    ({ machine }) =>
      isPlacementAllowed(job.spec, machine, boundTasks) &&
      (gangZone === null || machine.zone === gangZone),
  );
}
