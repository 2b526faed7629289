/** Long polls: answers to heartbeats that are held back until there is a command to send. */
import { renderHeartbeatResponse, type Duration } from '@tealdock/wire';
import type { Granted } from '../authority/decision.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from '../term/term.js';

/**
 * Holds back answers without commands for a short, bounded time, so that a start assigned in the
 * meantime is sent immediately instead of with the next heartbeat. A machine has at most one long
 * poll, that of its newest heartbeat, since a worker has one request in flight.
 */
export class LongPolls {
  private readonly requestByMachine = new Map<string, number>();

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly renewalGrant: () => Granted | null,
  ) {}

  /** Holds the answer back until there are commands, for at most `waitTime`. */
  open(machine: string, requestId: number, waitTime: Duration): void {
    this.runtime.stats.count('reports.held');
    this.requestByMachine.set(machine, requestId);
    this.runtime.after(waitTime, () => {
      if (this.requestByMachine.get(machine) === requestId) this.answer(machine, requestId);
    });
  }

  /** Closes a machine's long poll with a 503: the worker no longer waits for that request. */
  abandon(machine: string, grant: Granted): void {
    const requestId = this.requestByMachine.get(machine);
    if (requestId === undefined) return;
    this.requestByMachine.delete(machine);
    const body = renderHeartbeatResponse(grant.fencingToken, []);
    this.runtime.reply(requestId, { status: 503, body });
  }

  /**
   * Answers the long polls of machines that have commands by now, or all of them once the term
   * may not answer any more.
   */
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
    if (!commands) return this.runtime.reply(requestId, { status: 503, body: {} });
    const body = renderHeartbeatResponse(grant.fencingToken, commands);
    this.runtime.reply(requestId, { status: 200, body, validUntil: grant.validUntil });
  }
}
