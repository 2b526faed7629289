/** Cuts in the network of a simulated cluster. */
import { NODES } from './cluster-options.js';

/** Which traffic is cut. Cuts of one direction make a one-way partition. */
export abstract class CutNetwork {
  /** Names whose traffic is cut; `a>b` cuts one direction of one pair. */
  readonly cuts = new Set<string>();

  /** Machines that are up. */
  protected abstract machineNames(): Iterable<string>;

  cut(from: string, to: string): boolean {
    return this.cuts.has(from) || this.cuts.has(to) || this.cuts.has(`${from}>${to}`);
  }

  /** Takes a node's way to the state service and to its peers, but not to workers and users. */
  isolate(name: string): void {
    this.cuts.add(`${name}>state`);
    for (const peer of NODES) {
      if (peer === name) continue;
      this.cuts.add(`${name}>${peer}`);
      this.cuts.add(`${peer}>${name}`);
    }
  }

  /** Reports of a machine arrive, but no answer reaches it. */
  cutAnswersTo(machine: string): void {
    for (const n of NODES) this.cuts.add(`${n}>${machine}`);
  }

  restoreAnswersTo(machine: string): void {
    for (const n of NODES) this.cuts.delete(`${n}>${machine}`);
  }

  /** A machine reaches no controller, while direct commands reach it. */
  cutReportsOf(machine: string): void {
    for (const n of NODES) this.cuts.add(`${machine}>${n}`);
  }

  /** Cuts of one kind end, others stay. */
  restoreReportsOf(machine: string): void {
    for (const n of NODES) this.cuts.delete(`${machine}>${n}`);
  }

  /** Cuts these nodes and machines off from all others, but from nothing regional. */
  part(side: string[]): void {
    const others = [...NODES, ...this.machineNames()].filter((name) => !side.includes(name));
    for (const here of side) {
      for (const there of others) {
        this.cuts.add(`${here}>${there}`);
        this.cuts.add(`${there}>${here}`);
      }
    }
  }
}
