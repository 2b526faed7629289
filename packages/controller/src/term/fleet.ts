/** The machines that a term knows of. */
import type { Machine } from '../machines/machine.js';

/** Owner of the term's machines; only the methods of this class add and remove any. */
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

  /** Adds a machine, or keeps its place if it is there already. */
  add(machine: Machine): void {
    this.byId.set(machine.id, machine);
  }

  /** No effect if the machine is unknown. */
  remove(id: string): void {
    this.byId.delete(id);
  }

  /** Machines of which it is not known yet whether tasks of older terms run there. */
  unreconciledMachines(): Machine[] {
    return [...this.byId.values()].filter((machine) => !machine.registration.isReconciled);
  }
}
