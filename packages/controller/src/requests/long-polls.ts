/** Answers to heartbeats that wait for a start. */
import { renderHeartbeatResponse, type Duration } from '@tealdock/wire';
import type { Granted } from '../authority/decision.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';

/**
 * An answer without commands is kept back for a short, bounded time, so that a start assigned
 * meanwhile leaves at once instead of with the next heartbeat. A machine has one long poll at
 * the most, that of its newest heartbeat, since a worker has one request under way.
 */
export class LongPolls {
  private readonly requestByMachine = new Map<string, number>();

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly renewalGrant: () => Granted | null,
  ) {}

  /** Keeps the answer back until there are commands, for this long at the most. */
  open(machine: string, requestId: number, waitTime: Duration): void {
    this.runtime.stats.count('reports.held');
    this.requestByMachine.set(machine, requestId);
    this.runtime.after(waitTime, () => {
      if (this.requestByMachine.get(machine) === requestId) this.answer(machine, requestId);
    });
  }

  /** Ends a machine's long poll without an answer: the worker has given that request up. */
  abandon(machine: string, grant: Granted): void {
    const requestId = this.requestByMachine.get(machine);
    if (requestId === undefined) return;
    this.requestByMachine.delete(machine);
    const body = renderHeartbeatResponse(grant.fencingToken, []);
    this.runtime.reply(requestId, { status: 503, body });
  }

  /** Answers where there are commands by now; everywhere once the term may not answer. */
  release(): void {
    if (!this.renewalGrant() || this.term.closed) {
      for (const [machine, requestId] of this.requestByMachine) this.answer(machine, requestId);
      return;
    }
    for (const machine of this.term.dirtyMachines) {
      const requestId = this.requestByMachine.get(machine);
      if (requestId !== undefined && this.term.workerCommands.hasPendingCommands(machine))
        this.answer(machine, requestId);
      if (!this.requestByMachine.has(machine) || !this.term.bindings.hasUndispatched(machine)) {
        this.term.dirtyMachines.delete(machine);
      }
    }
  }

  private answer(machine: string, requestId: number): void {
    this.requestByMachine.delete(machine);
    const grant = this.renewalGrant();
    if (!grant || this.term.closed) {
      return this.runtime.reply(requestId, { status: 503, body: {} });
    }
    const commands = this.term.workerCommands.dispatchCommands(machine);
    const body = renderHeartbeatResponse(grant.fencingToken, commands);
    this.runtime.reply(requestId, { status: 200, body, validUntil: grant.validUntil });
  }
}
