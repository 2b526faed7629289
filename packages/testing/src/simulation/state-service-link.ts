/** The link between the controllers and the state service of a simulated cluster. */
import type { Duration } from '@tealdock/wire';
import type { Call, CallResult } from '@tealdock/controller';
import type { FakeState } from '../fakes/fake-state.js';
import type { SimulatedClock } from './simulated-clock.js';

/** Delay of the execution of a call with the fault `late`. */
const LATE_EXECUTION_MS = 9000;

/**
 * Fault of a call. `lost_before`: it is not executed. `lost_after`: it is executed, but its answer
 * is lost. `late` or a duration: it counts as lost and is executed after that delay.
 */
export type StateFault = 'lost_before' | 'lost_after' | 'late' | Duration;

/** Delivers calls to the state service, with faults that a scenario injects. */
export class StateServiceLink {
  /** Chooses the fault of a node's call; undefined for none. */
  fault: ((node: string, call: Call) => StateFault | undefined) | null = null;
  /** Additional delay of an answer; if it reaches the call's timeout, the answer is lost. */
  extraDelay: (() => Duration) | null = null;
  /** Transactions of nodes of the current version that were refused as too large. */
  oversizedCount = 0;

  constructor(
    private readonly state: FakeState,
    private readonly clock: SimulatedClock,
    private readonly runsOlderVersion: (node: string) => boolean,
  ) {}

  clearFaults(): void {
    this.fault = this.extraDelay = null;
  }

  /** Executes a call, subject to faults; `lost` reports it as lost after the call's timeout. */
  send(from: string, call: Call, done: (result: CallResult) => void, lost: () => void): void {
    if (this.runsOlderVersion(from)) removeEndTimes(call);
    const fault = this.fault?.(from, call);
    if (fault === 'lost_before') return lost();
    if (fault === 'lost_after') return this.execute(from, call, lost);
    if (fault !== undefined) {
      const delay = fault === 'late' ? LATE_EXECUTION_MS : fault;
      this.clock.after(delay, () => this.execute(from, call, () => undefined));
      return lost();
    }
    const delay = this.extraDelay?.() ?? 0;
    if (delay >= call.timeout) return this.execute(from, call, lost);
    this.execute(from, call, delay > 0 ? (r) => this.clock.after(delay, () => done(r)) : done);
  }

  private execute(from: string, call: Call, done: (result: CallResult) => void): void {
    const refusals = this.state.oversizedCount;
    this.state.handle(call.method, call.path, call.body, done, from);
    if (!this.runsOlderVersion(from)) this.oversizedCount += this.state.oversizedCount - refusals;
  }
}

/** The version before job chains stored an ended job without the time of its end. */
function removeEndTimes({ path, body }: Call): void {
  if (path !== '/commit') return;
  const { writes } = body as { writes: { write?: string; v?: { at?: number } }[] };
  for (const { write, v } of writes) if (write?.includes('/ended/') && v) delete v.at;
}
