/** Cuts in the network of a simulated cluster. */
import { NODES } from './cluster-options.js';

/** Which traffic is cut. Cuts of one direction make a one-way partition. */
export class SimulatedNetwork {
  /** Names whose traffic is cut; `a>b` cuts one direction of one pair. */
  readonly cuts = new Set<string>();

  constructor(private readonly machineNames: () => Iterable<string>) {}

  isCut(from: string, to: string): boolean {
    return this.cuts.has(from) || this.cuts.has(to) || this.cuts.has(`${from}>${to}`);
  }

  /** Cuts a node off from the state service and its peers, but not from workers and users. */
  isolate(name: string): void {
    this.cuts.add(`${name}>state`);
    for (const peer of NODES) {
      if (peer === name) continue;
      this.cuts.add(`${name}>${peer}`);
      this.cuts.add(`${peer}>${name}`);
    }
  }

  /** Heartbeats of a machine arrive, but no response reaches it. */
  cutResponsesTo(machine: string): void {
    for (const node of NODES) this.cuts.add(`${node}>${machine}`);
  }

  /** Ends `cutResponsesTo`; other cuts stay. */
  restoreResponsesTo(machine: string): void {
    for (const node of NODES) this.cuts.delete(`${node}>${machine}`);
  }

  /** A machine reaches no controller, while direct commands reach it. */
  cutHeartbeatsOf(machine: string): void {
    for (const node of NODES) this.cuts.add(`${machine}>${node}`);
  }

  /** Ends `cutHeartbeatsOf`; other cuts stay. */
  restoreHeartbeatsOf(machine: string): void {
    for (const node of NODES) this.cuts.delete(`${machine}>${node}`);
  }

  /** Cuts these nodes and machines off from all others, but from nothing regional. */
  partition(side: string[]): void {
    const others = [...NODES, ...this.machineNames()].filter((name) => !side.includes(name));
    for (const here of side) {
      for (const there of others) {
        this.cuts.add(`${here}>${there}`);
        this.cuts.add(`${there}>${here}`);
      }
    }
  }
}
