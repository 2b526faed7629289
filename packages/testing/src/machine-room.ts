/** What is free on a machine, seen from outside. */
import type { JobSpec } from '@tealdock/wire';

/** What is free on a machine. */
export interface MachineRoom {
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  memoryGb: number;
}

/** Whether a task of the job may run in what is free on the machine. */
export function fitsInto(spec: JobSpec, room: MachineRoom): boolean {
  const allowed =
    (spec.types?.includes(room.type) ?? true) &&
    (spec.zone ?? room.zone) === room.zone &&
    (spec.spot || !room.spot);
  return allowed && room.cpus >= spec.cpus && room.memoryGb >= spec.memoryGb;
}
