/** Stops that are sent to workers directly. */
import {
  COMMANDS_PATH,
  renderDirectCommands,
  type Instant,
  type WorkerCommand,
} from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Term } from './term.js';

const LOOK_EVERY = 500;
const TIMEOUT = 2000;
/** A machine is told again after this long, while the task is still on it. */
const AGAIN = 4000;
const MOST_UNDER_WAY = 12;
/** Reports that are late by this much may not come at all. */
const MISSED_REPORTS = 2;

/**
 * Stops tasks of jobs that have ended by a command to their worker, where no answer to a
 * report does it: this node may not answer just now, or the worker's reports don't come.
 * The end of a job is final, so such a stop is right also late, and from a leader of the
 * past. The rule does not rest on it: leases end in time anyway (docs/safety.md).
 */
export class DirectStops {
  private readonly told = new Map<string, Instant>();
  private underWay = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: Term,
    private readonly answers: () => boolean,
  ) {}

  start(): void {
    this.runtime.every(LOOK_EVERY, () => {
      if (!this.term.closed) this.look();
      return !this.term.closed;
    });
  }

  private look(): void {
    const answers = this.answers();
    for (const machine of this.term.machines.values()) {
      if (this.underWay >= MOST_UNDER_WAY) return;
      if (machine.heartbeats.address === '' || machine.bindings.size === 0) continue;
      if (answers && !this.misses(machine)) continue;
      if (this.runtime.now - (this.told.get(machine.id) ?? -Infinity) < AGAIN) continue;
      const orders = this.stopsFor(machine);
      if (orders.length > 0) this.send(machine, orders);
    }
  }

  private misses(machine: Machine): boolean {
    const heard = machine.heartbeats.lastCountedAt ?? this.term.electedAt;
    return this.runtime.now - heard > this.runtime.settings.heartbeatInterval * MISSED_REPORTS;
  }

  private stopsFor(machine: Machine): WorkerCommand[] {
    const orders: WorkerCommand[] = [];
    for (const binding of machine.bindings.values()) {
      if (binding.isAssigned || !this.term.liveJobs.hasEnded(binding)) continue;
      orders.push({ op: 'stop', task: binding.task, attempt: binding.attempt, gracePeriod: 0 });
    }
    return orders;
  }

  private send(machine: Machine, orders: WorkerCommand[]): void {
    this.told.set(machine.id, this.runtime.now);
    this.underWay++;
    this.runtime.stats.count('stops.direct', orders.length);
    const call = {
      target: 'worker' as const,
      to: machine.heartbeats.address,
      method: 'POST',
      path: COMMANDS_PATH,
      body: renderDirectCommands(this.term.fencingToken, machine.heartbeats.agentEpoch, orders),
      priority: PRIORITY.leader,
      writeCount: 0,
      timeout: TIMEOUT,
    };
    this.runtime.call(call, () => this.underWay--);
  }
}
