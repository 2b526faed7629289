/** The machines that a term knows of. */
import type { Machine } from '../machines/machine.js';

/** Owns the machines of a term; they are added and removed only here. */
export class Fleet {
  private readonly byId = new Map<string, Machine>();

  /** By identifier, in the order in which they became known. */
  get machines(): ReadonlyMap<string, Machine> {
    return this.byId;
  }

  /** Undefined for an unknown machine. */
  get(id: string): Machine | undefined {
    return this.byId.get(id);
  }

  /** Adds a machine. One with a known identifier is replaced and keeps its position. */
  add(machine: Machine): void {
    this.byId.set(machine.id, machine);
  }

  /** No effect if the machine is unknown. */
  remove(id: string): void {
    this.byId.delete(id);
  }

  /** Machines on which tasks of earlier terms may run that this term does not know of yet. */
  unreconciledMachines(): Machine[] {
    return [...this.byId.values()].filter((machine) => !machine.registration.isReconciled);
  }
}
