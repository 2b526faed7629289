/** What all parts of a term of leadership share. */
import type { Instant } from '@tealdock/wire';
import { FetchSharing } from '../machines/fetch-sharing.js';
import type { LiveJob } from '../jobs/live-job.js';
import type { Machine } from '../machines/machine.js';
import { UsageLedger } from '../machines/usage-ledger.js';

/** Jobs, machines and sums over their bindings, as known in one term of leadership. */
export class TermState {
  readonly jobs = new Map<string, LiveJob>();
  readonly machines = new Map<string, Machine>();
  /** When leadership was won. */
  readonly electedAt: Instant;
  /** The stored state has been read. */
  stateLoaded = false;
  closed = false;
  /** Learnt ratio of actual to estimated run time, by class. */
  readonly runTimeRatios = new Map<string, number>();
  /** Images that a machine held by the word of the last leader. */
  readonly hintedImages = new Map<string, { image: string; gb: number }[]>();
  /** Keys below the live jobs that belong to none. */
  readonly strayKeys: string[] = [];
  readonly ledger = new UsageLedger();
  readonly fetchSharing = new FetchSharing();
  /** Machines whose long poll may have got orders. */
  readonly dirtyMachines = new Set<string>();

  constructor(
    now: Instant,
    readonly fencingToken: number,
  ) {
    this.electedAt = now;
  }

  /** Machines of which it is not known yet what runs on them. */
  unreconciledMachines(): Machine[] {
    const open: Machine[] = [];
    for (const machine of this.machines.values())
      if (!machine.registration.isReconciled) open.push(machine);
    return open;
  }
}
