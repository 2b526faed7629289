/** Free capacity of machines, as seen from outside the controllers. */
import type { JobSpec } from '@tealdock/wire';
import { MACHINE_TYPE } from '../fakes/fake-cloud.js';
import type { FakeWorker } from '../fakes/fake-worker.js';

/** Free resources of a machine. */
export interface FreeCapacity {
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  memoryGb: number;
}

/** Free resources of each machine that neither hangs nor has notice, by the tasks present there. */
export function freeCapacityOf(
  workers: Iterable<FakeWorker>,
  jobs: ReadonlyMap<string, JobSpec>,
): FreeCapacity[] {
  const capacities: FreeCapacity[] = [];
  for (const worker of workers) {
    if (!worker.isHung && worker.reclaimWarningSeconds === null)
      capacities.push(freeCapacityOn(worker, jobs));
  }
  return capacities;
}

function freeCapacityOn(
  { machine, tasks }: FakeWorker,
  jobs: ReadonlyMap<string, JobSpec>,
): FreeCapacity {
  const present = tasks.filter((t) => t.status !== 'exited');
  const specs = present.flatMap((t) => jobs.get(t.piece.split('/')[0] ?? '') ?? []);
  return {
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    cpus: specs.reduce((left, spec) => left - spec.cpus, MACHINE_TYPE.cpus),
    memoryGb: specs.reduce((left, spec) => left - spec.memoryGb, MACHINE_TYPE.mem_gb),
  };
}

/** Whether a task of the job may run on the machine and fits into its free resources. */
export function fits(spec: JobSpec, free: FreeCapacity): boolean {
  const allowed =
    (spec.types?.includes(free.type) ?? true) &&
    (spec.zone ?? free.zone) === free.zone &&
    (spec.spot || !free.spot);
  return allowed && free.cpus >= spec.cpus && free.memoryGb >= spec.memoryGb;
}
