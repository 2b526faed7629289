/** What is free on a machine, seen from outside. */
import type { JobSpec } from '@tealdock/wire';
import { TYPE } from '../fakes/fake-cloud.js';
import type { FakeWorker } from '../fakes/fake-worker.js';

/** What is free on a machine. */
export interface MachineRoom {
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  memoryGb: number;
}

/** What is free on each machine that works, by what is on it. */
export function roomsOf(
  workers: Iterable<FakeWorker>,
  jobs: ReadonlyMap<string, JobSpec>,
): MachineRoom[] {
  const rooms: MachineRoom[] = [];
  for (const worker of workers) {
    if (!worker.hanging && worker.warning === null) rooms.push(roomOf(worker, jobs));
  }
  return rooms;
}

function roomOf({ machine, tasks }: FakeWorker, jobs: ReadonlyMap<string, JobSpec>): MachineRoom {
  const present = tasks.filter((t) => t.status !== 'exited');
  const specs = present.flatMap((t) => jobs.get(t.piece.split('/')[0] ?? '') ?? []);
  return {
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    cpus: specs.reduce((left, spec) => left - spec.cpus, TYPE.cpus),
    memoryGb: specs.reduce((left, spec) => left - spec.memoryGb, TYPE.mem_gb),
  };
}

/** Whether a task of the job may run in what is free on the machine. */
export function fitsInto(spec: JobSpec, room: MachineRoom): boolean {
  const allowed =
    (spec.types?.includes(room.type) ?? true) &&
    (spec.zone ?? room.zone) === room.zone &&
    (spec.spot || !room.spot);
  return allowed && room.cpus >= spec.cpus && room.memoryGb >= spec.memoryGb;
}
