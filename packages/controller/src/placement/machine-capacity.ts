/** What is free on machines, and which of them may take a task. */
import type { MachineType } from '@tealdock/wire';
import {
  addResources,
  isPlacementAllowed,
  type Resources,
  type TaskCountByZone,
} from '@tealdock/scheduler';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';

/** Free resources of one machine while a cycle goes on. */
export interface MachineCapacity {
  machine: Machine;
  type: MachineType;
  free: Resources;
  /** Free once all that is being stopped is gone, less what this cycle has reserved. */
  freeAfterStops: Resources;
}

/** The capacity of a machine, which takes over cache size and fetch rate of its type. */
export function capacityOf(machine: Machine, type: MachineType): MachineCapacity {
  const free = machine.free(type);
  machine.applyType(type);
  return { machine, type, free, freeAfterStops: addResources(free, machine.usage.stopping) };
}

/** What a job's tasks ask of a machine; jobs with the same key fit on the same machines. */
export function demandKey(job: LiveJob): string {
  const { cpus, gpus, memoryGb, types, zone, spot, oneZone, spread, kind } = job.spec;
  const own = oneZone || spread || kind === 'gang' ? job.id : '';
  return `${cpus} ${gpus} ${memoryGb} ${types?.join(',') ?? '*'} ${zone ?? '*'} ${spot} ${own}`;
}

/** The machines on which tasks of a job may be placed, by type, zone and kind. */
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
