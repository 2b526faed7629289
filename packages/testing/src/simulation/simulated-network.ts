/** Network partitions of a simulated cluster. */
import { NODES } from './cluster-options.js';

/** The traffic that is cut; cuts of one direction form a one-way partition. */
export class SimulatedNetwork {
  /** A name cuts all traffic of that party; `a>b` cuts only the direction from `a` to `b`. */
  readonly cuts = new Set<string>();

  constructor(private readonly machineNames: () => Iterable<string>) {}

  isCut(from: string, to: string): boolean {
    return this.cuts.has(from) || this.cuts.has(to) || this.cuts.has(`${from}>${to}`);
  }

  /** Cuts a node off from the state service and its peers, but not from cloud, workers and users. */
  isolate(name: string): void {
    this.cuts.add(`${name}>state`);
    for (const peer of NODES) {
      if (peer === name) continue;
      this.cuts.add(`${name}>${peer}`);
      this.cuts.add(`${peer}>${name}`);
    }
  }

  /** Heartbeats of a machine arrive, but no response or direct command reaches it. */
  cutResponsesTo(machine: string): void {
    for (const node of NODES) this.cuts.add(`${node}>${machine}`);
  }

  /** Ends `cutResponsesTo`; other cuts stay. */
  restoreResponsesTo(machine: string): void {
    for (const node of NODES) this.cuts.delete(`${node}>${machine}`);
  }

  /** Heartbeats of a machine are lost, but direct commands reach it. */
  cutHeartbeatsOf(machine: string): void {
    for (const node of NODES) this.cuts.add(`${machine}>${node}`);
  }

  /** Ends `cutHeartbeatsOf`; other cuts stay. */
  restoreHeartbeatsOf(machine: string): void {
    for (const node of NODES) this.cuts.delete(`${machine}>${node}`);
  }

  /** Cuts these nodes and machines off from all others, but not from state service and cloud. */
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
