/** Stop commands that are sent to workers by direct calls, not in responses to heartbeats. */
import {
  COMMANDS_PATH,
  CommandBudget,
  renderDirectCommands,
  type Instant,
  type WorkerCommand,
} from '@tealdock/wire';
import type { Binding } from '../jobs/binding.js';
import type { Machine } from '../machines/machine.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermView } from './term-view.js';

const CHECK_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 2000;
/** Minimum interval between two calls to one machine; stops are repeated while tasks remain. */
const RESEND_DELAY_MS = 4000;
const MAX_CALLS_IN_FLIGHT_COUNT = 12;
/** A machine is silent if none of its heartbeats was counted for this many intervals. */
const MISSED_HEARTBEAT_COUNT = 2;

/** Dependencies of `DirectStops`. */
export interface DirectStopsOptions {
  readonly term: TermView;
  /** True if the job is known to have ended; false also if that is unknown. */
  readonly hasEnded: (job: string) => boolean;
  /** True while this node may answer heartbeats, which renews worker leases. */
  readonly mayRenew: () => boolean;
}

/**
 * Calls workers directly to stop tasks of ended jobs when a response to a heartbeat cannot carry
 * the stop: this node may not answer heartbeats now, none arrive from the worker, or the machine has
 * more tasks than its heartbeats and their answers can name. The end of a
 * job is final, so a stop that arrives late or from a former leader is still correct. Safety does
 * not depend on these calls, because worker leases expire in time anyway (docs/safety.md).
 */
export class DirectStops {
  private readonly lastSentAt = new Map<string, Instant>();
  private callsInFlight = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: DirectStopsOptions,
  ) {}

  /** Checks all machines periodically until the term closes. */
  start(): void {
    const { term } = this.options;
    this.runtime.every(CHECK_INTERVAL_MS, () => {
      if (!term.closed) this.sendDueStops();
      return !term.closed;
    });
  }

  private sendDueStops(): void {
    const mayRenew = this.options.mayRenew();
    for (const machine of this.options.term.machines.values()) {
      if (this.callsInFlight >= MAX_CALLS_IN_FLIGHT_COUNT) return;
      if (machine.heartbeats.address === '' || machine.bindings.size === 0) continue;
      if (mayRenew && !this.isSilent(machine) && !machine.exceedsHeartbeat) continue;
      const lastSentAt = this.lastSentAt.get(machine.id) ?? -Infinity;
      if (this.runtime.now - lastSentAt < RESEND_DELAY_MS) continue;
      const stops = this.stopsFor(machine);
      if (stops.length > 0) this.send(machine, stops);
    }
  }

  private isSilent(machine: Machine): boolean {
    const lastHeartbeatAt = machine.heartbeats.lastCountedAt ?? this.options.term.electedAt;
    const limitMs = this.runtime.settings.heartbeatInterval * MISSED_HEARTBEAT_COUNT;
    return this.runtime.now - lastHeartbeatAt > limitMs;
  }

  private stopsFor(machine: Machine): WorkerCommand[] {
    const budget = new CommandBudget();
    const ended = [...machine.bindings.values()].filter(
      (binding) => !binding.isAssigned && this.options.hasEnded(binding.job),
    );
    return ended
      .map((binding) => commandsFor(binding, machine.exceedsHeartbeat))
      .filter((commands) => budget.takeAll(commands))
      .flat();
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

/**
 * Stops the task, and forgets it on a machine whose heartbeats could not name all that has exited.
 * An attempt that this term has started is not forgotten here, see `WorkerCommands`.
 */
function commandsFor(binding: Binding, isMachineOverfull: boolean): WorkerCommand[] {
  const { task, attempt } = binding;
  const stop: WorkerCommand = { op: 'stop', task, attempt, gracePeriod: 0 };
  if (!isMachineOverfull || binding.isDispatchedByThisTerm) return [stop];
  return [stop, { op: 'forget', task, attempt }];
}
