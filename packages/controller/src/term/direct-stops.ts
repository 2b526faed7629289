/** Stop commands that are sent to workers directly, not in an answer to a heartbeat. */
import {
  COMMANDS_PATH,
  renderDirectCommands,
  type Instant,
  type WorkerCommand,
} from '@tealdock/wire';
import type { Machine } from '../machines/machine.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermView } from './term-view.js';

const CHECK_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 2000;
/** Pause before the commands are sent again while the task is still on the machine. */
const RESEND_DELAY_MS = 4000;
const MAX_CALLS_IN_FLIGHT_COUNT = 12;
/** A machine without heartbeats for this many intervals may not send any more. */
const MISSED_HEARTBEAT_COUNT = 2;

/** What direct stops depend on. */
export interface DirectStopsOptions {
  readonly term: TermView;
  /** True if the job is known to have ended. */
  readonly hasEnded: (job: string) => boolean;
  /** True while this node may answer heartbeats. */
  readonly mayRenew: () => boolean;
}

/**
 * Stops tasks of ended jobs by a call to their worker where no answer to a heartbeat can do it:
 * this node may not answer now, or the worker's heartbeats don't arrive. The end of a job is
 * final, so a stop that arrives late or from a former leader is right too. Safety does not depend
 * on these calls, since worker leases expire in time anyway (docs/safety.md).
 */
export class DirectStops {
  private readonly lastSentAt = new Map<string, Instant>();
  private callsInFlight = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: DirectStopsOptions,
  ) {}

  /** Runs until the term closes. */
  start(): void {
    const { term } = this.options;
    this.runtime.every(CHECK_INTERVAL_MS, () => {
      if (!term.closed) this.sendMissing();
      return !term.closed;
    });
  }

  private sendMissing(): void {
    const mayRenew = this.options.mayRenew();
    for (const machine of this.options.term.machines.values()) {
      if (this.callsInFlight >= MAX_CALLS_IN_FLIGHT_COUNT) return;
      if (machine.heartbeats.address === '' || machine.bindings.size === 0) continue;
      if (mayRenew && !this.missesHeartbeats(machine)) continue;
      const lastSentAt = this.lastSentAt.get(machine.id) ?? -Infinity;
      if (this.runtime.now - lastSentAt < RESEND_DELAY_MS) continue;
      const stops = this.stopsFor(machine);
      if (stops.length > 0) this.send(machine, stops);
    }
  }

  private missesHeartbeats(machine: Machine): boolean {
    const lastHeartbeatAt = machine.heartbeats.lastCountedAt ?? this.options.term.electedAt;
    const limitMs = this.runtime.settings.heartbeatInterval * MISSED_HEARTBEAT_COUNT;
    return this.runtime.now - lastHeartbeatAt > limitMs;
  }

  private stopsFor(machine: Machine): WorkerCommand[] {
    const stops: WorkerCommand[] = [];
    for (const binding of machine.bindings.values()) {
      if (binding.isAssigned || !this.options.hasEnded(binding.job)) continue;
      stops.push({ op: 'stop', task: binding.task, attempt: binding.attempt, gracePeriod: 0 });
    }
    return stops;
  }

  private send(machine: Machine, stops: WorkerCommand[]): void {
    this.lastSentAt.set(machine.id, this.runtime.now);
    this.callsInFlight++;
    this.runtime.stats.count('stops.direct', stops.length);
    const { fencingToken } = this.options.term;
    const call = {
      target: 'worker' as const,
      to: machine.heartbeats.address,
      method: 'POST',
      path: COMMANDS_PATH,
      body: renderDirectCommands(fencingToken, machine.heartbeats.agentEpoch, stops),
      priority: PRIORITY.leader,
      writeCount: 0,
      timeout: CALL_TIMEOUT_MS,
    };
    this.runtime.call(call, () => this.callsInFlight--);
  }
}
