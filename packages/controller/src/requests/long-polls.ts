/** Answers to reports that wait for a start. */
import { renderHeartbeatResponse, type Duration } from '@tealdock/wire';
import type { Granted } from '../authority/decision.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';

/**
 * An answer without orders is kept back for a short, bounded time, so that a
 * start booked meanwhile leaves at once instead of with the next report. It
 * stays the answer to the newest report, since a worker has one in flight.
 */
export class LongPolls {
  private readonly open = new Map<string, number>();

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly held: () => Granted | null,
  ) {}

  hold(machine: string, request: number, duration: Duration): void {
    this.open.set(machine, request);
    this.runtime.after(duration, () => {
      if (this.open.get(machine) === request) this.answer(machine, request);
    });
  }

  /** The worker gave the older report up: its answer is worth nothing any more. */
  drop(machine: string, held: Granted): void {
    const request = this.open.get(machine);
    if (request === undefined) return;
    this.open.delete(machine);
    this.runtime.reply(request, {
      status: 503,
      body: renderHeartbeatResponse(held.fencingToken, []),
    });
  }

  /** Lets go what has got orders since; everything once the term is over. */
  release(): void {
    if (!this.held() || this.term.closed) {
      for (const [machine, request] of this.open) this.answer(machine, request);
      return;
    }
    for (const machine of this.term.dirtyMachines) {
      const request = this.open.get(machine);
      if (request !== undefined && this.term.workerCommands.hasPendingCommands(machine))
        this.answer(machine, request);
      if (!this.open.has(machine) || !this.term.bindings.hasUndispatched(machine)) {
        this.term.dirtyMachines.delete(machine);
      }
    }
  }

  private answer(machine: string, request: number): void {
    this.open.delete(machine);
    const held = this.held();
    if (!held || this.term.closed) return this.runtime.reply(request, { status: 503, body: {} });
    const body = renderHeartbeatResponse(
      held.fencingToken,
      this.term.workerCommands.dispatchCommands(machine),
    );
    this.runtime.reply(request, { status: 200, body, validUntil: held.validUntil });
  }
}
