/** Time, timers, calls and effects of the state owner. */
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
  /** Timers due at the same instant run in the order of their numbers. */
  number: number;
  run: () => void;
}

/** What a process provides to its state owner. */
export interface Environment {
  settings: Settings;
  operator: OperatorSettings;
  random: Random;
  log: Log;
  stats: Stats;
}

/**
 * What the parts of the state owner share within a batch: the time of the
 * batch, effects going out, continuations of calls, and timers.
 */
export class Runtime {
  /** Time of the batch on the process's steady clock, in ms. */
  now: Instant = 0;
  /** Time of day of the batch, for stored values: they outlive this process. */
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

  /** Sends a call; its outcome comes to the callback, once, in a later batch. */
  call(call: Call, onResult: (result: CallResult) => void): void {
    const id = ++this.lastCallId;
    this.pendingCalls.set(id, onResult);
    this.effects.push({ kind: 'call', id, call });
  }

  /** Responds to a request. */
  reply(id: number, reply: Reply): void {
    this.effects.push({ kind: 'reply', id, reply });
  }

  /** Sends a heartbeat to all peers; an empty leader stands for an unknown one. */
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

  /** Passes on the outcome of a call; an unknown id is ignored. */
  completeCall(id: number, result: CallResult): void {
    const onResult = this.pendingCalls.get(id);
    this.pendingCalls.delete(id);
    onResult?.(result);
  }

  /** Runs `run` once the delay has passed, never within this call. */
  after(delay: Duration, run: () => void): void {
    this.timers.push({ due: this.now + delay, number: ++this.lastTimerNumber, run });
  }

  /** Runs `run` at once and then periodically, until it returns false. */
  every(period: Duration, run: () => boolean): void {
    const runAndRepeat = () => {
      if (run()) this.after(period, runAndRepeat);
    };
    runAndRepeat();
  }

  /** Runs what is due. Timers that are set meanwhile wait for the next batch, even if due. */
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

  /** When the next timer is due; `Infinity` if there is none. */
  nextTimerDue(): Instant {
    return this.timers.peek()?.due ?? Infinity;
  }

  /** Returns the effects since the last call. */
  takeEffects(): Effect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }
}
