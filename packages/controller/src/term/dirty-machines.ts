/** Set of machines that may have pending commands. */

/**
 * Machines that may have commands for their pending long poll. A mark without a command is
 * harmless, because the code that answers long polls checks for commands first.
 */
export class DirtyMachines implements Iterable<string> {
  private readonly ids = new Set<string>();

  /** Marks a machine; no effect if it is marked already. */
  add(machineId: string): void {
    this.ids.add(machineId);
  }

  /** Removes the mark, if there is one. */
  delete(machineId: string): void {
    this.ids.delete(machineId);
  }

  /** Identifiers in the order of marking. Marks may be added and removed during the iteration. */
  [Symbol.iterator](): Iterator<string> {
    return this.ids.values();
  }
}
