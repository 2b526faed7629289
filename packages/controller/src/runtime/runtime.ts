/** Time, timers, outgoing calls and effects of the state owner. */
import TinyQueue from 'tinyqueue';
import type {
  Duration,
  Instant,
  OperatorSettings,
  Settings,
  LeaderBroadcast,
} from '@tealdock/wire';
import type { Call, CallResult, Effect, Log, LogLevel, Random, Reply } from './ports.js';
import type { Stats } from './stats.js';

/** A callback that is due at an instant. */
interface Timer {
  due: Instant;
  /** Timers that are due at the same instant run in the order in which they were set. */
  number: number;
  run: () => void;
}

/** Settings and facilities that the process provides to its state owner. */
export interface Environment {
  settings: Settings;
  operator: OperatorSettings;
  random: Random;
  log: Log;
  stats: Stats;
}

/**
 * Shared by all parts of the state owner: the time of the current batch, its effects, the
 * callbacks of pending calls, and timers.
 */
export class Runtime {
  /** Time of the batch on the process's monotonic clock, in ms. */
  now: Instant = 0;
  /** Wall-clock time of the batch, for stored values, since these outlive this process. */
  wallClock = new Date(0);
  private effects: Effect[] = [];
  private readonly pendingCalls = new Map<number, (result: CallResult) => void>();
  private readonly timers = new TinyQueue<Timer>(
    [],
    (a, b) => a.due - b.due || a.number - b.number,
  );
  private lastCallId = 0;
  private lastTimerNumber = 0;

  constructor(readonly env: Environment) {}

  get settings(): Settings {
    return this.env.settings;
  }

  get stats(): Stats {
    return this.env.stats;
  }

  get operator(): OperatorSettings {
    return this.env.operator;
  }

  /** Writes one log line. */
  log(level: LogLevel, fields: Record<string, unknown>, message: string): void {
    this.env.log(level, fields, message);
  }

  /** Sends a call; `onResult` gets its outcome, exactly once, in a later batch. */
  call(call: Call, onResult: (result: CallResult) => void): void {
    const id = ++this.lastCallId;
    this.pendingCalls.set(id, onResult);
    this.effects.push({ kind: 'call', id, call });
  }

  /** Replies to a request. */
  reply(id: number, reply: Reply): void {
    this.effects.push({ kind: 'reply', id, reply });
  }

  /** Sends a heartbeat to all peers; `leader` is empty if the leader is unknown. */
  sendHeartbeat(leader: string, fencingToken: number, stateAvailable: boolean): void {
    this.effects.push({ kind: 'heartbeat', leader, fencingToken, stateAvailable });
  }

  /** Sends a message to all peers. */
  broadcast(message: LeaderBroadcast): void {
    this.effects.push({ kind: 'broadcast', message });
  }

  /** Limits the share of the state service's writes per second that this node uses. */
  setWriteFraction(fraction: number): void {
    this.effects.push({ kind: 'set_write_fraction', fraction });
  }

  /** Passes the outcome of a call to its callback; an unknown id is ignored. */
  completeCall(id: number, result: CallResult): void {
    const onResult = this.pendingCalls.get(id);
    this.pendingCalls.delete(id);
    onResult?.(result);
  }

  /** Calls `run` in a batch once the delay has passed, never synchronously. */
  after(delay: Duration, run: () => void): void {
    this.timers.push({ due: this.now + delay, number: ++this.lastTimerNumber, run });
  }

  /** Calls `run` immediately and then periodically, until it returns false. */
  every(period: Duration, run: () => boolean): void {
    const runAndRepeat = () => {
      if (run()) this.after(period, runAndRepeat);
    };
    runAndRepeat();
  }

  /** Runs all timers that are due, except those set during this call: they run in later batches. */
  runDueTimers(): void {
    const lastNumber = this.lastTimerNumber;
    const postponed: Timer[] = [];
    for (;;) {
      const timer = this.timers.peek();
      if (!timer || timer.due > this.now) break;
      this.timers.pop();
      if (timer.number > lastNumber) postponed.push(timer);
      else timer.run();
    }
    for (const timer of postponed) this.timers.push(timer);
  }

  /** The instant at which the next timer is due; `Infinity` if there is none. */
  nextTimerDue(): Instant {
    return this.timers.peek()?.due ?? Infinity;
  }

  /** Returns and removes the effects added since the last call. */
  takeEffects(): Effect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }
}
