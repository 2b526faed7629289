/** Machines that may have commands to get. */

/**
 * Machines whose pending long poll may have commands to carry. Marking one too many is harmless:
 * whoever answers long polls checks for commands.
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

  /** In the order of marking; marks may be set and removed meanwhile. */
  [Symbol.iterator](): Iterator<string> {
    return this.ids.values();
  }
}
