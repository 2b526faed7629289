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

interface Timer {
  due: Instant;
  /** Timers due at the same instant run in the order in which they were set. */
  order: number;
  run: () => void;
}

/** What a state owner is given by its process. */
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
  now: Instant = 0;
  /** Time of day at the batch, for what has to outlive this process. */
  wallClock = new Date(0);
  private effects: Effect[] = [];
  private readonly waiting = new Map<number, (result: CallResult) => void>();
  private readonly timers = new TinyQueue<Timer>([], (a, b) => a.due - b.due || a.order - b.order);
  private lastId = 0;
  private lastTimer = 0;

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

  call(call: Call, done: (result: CallResult) => void): void {
    const id = ++this.lastId;
    this.waiting.set(id, done);
    this.effects.push({ kind: 'call', id, call });
  }

  reply(id: number, reply: Reply): void {
    this.effects.push({ kind: 'reply', id, reply });
  }

  sendHeartbeat(leader: string, fencingToken: number, stateAvailable: boolean): void {
    this.effects.push({ kind: 'heartbeat', leader, fencingToken, stateAvailable });
  }

  broadcast(message: LeaderBroadcast): void {
    this.effects.push({ kind: 'broadcast', message });
  }

  setWriteFraction(fraction: number): void {
    this.effects.push({ kind: 'set_write_fraction', fraction });
  }

  completeCall(id: number, result: CallResult): void {
    const done = this.waiting.get(id);
    this.waiting.delete(id);
    done?.(result);
  }

  after(delay: Duration, run: () => void): void {
    this.timers.push({ due: this.now + delay, order: ++this.lastTimer, run });
  }

  /** Runs `run` now and then every `period`, until it returns false. */
  every(period: Duration, run: () => boolean): void {
    const again = () => {
      if (run()) this.after(period, again);
    };
    again();
  }

  /** Timers that these set, even for now, wait for the next batch. */
  runDue(): void {
    const last = this.lastTimer;
    const later: Timer[] = [];
    for (;;) {
      const timer = this.timers.peek();
      if (!timer || timer.due > this.now) break;
      this.timers.pop();
      if (timer.order > last) later.push(timer);
      else timer.run();
    }
    for (const timer of later) this.timers.push(timer);
  }

  nextDue(): Instant {
    return this.timers.peek()?.due ?? Infinity;
  }

  takeEffects(): Effect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }
}
