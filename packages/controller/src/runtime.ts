import type { Instant, Duration, OperatorSettings, Settings } from '@tealdock/wire';
import type { Call, CallResult, Effect, Log, Random, Reply } from './ports.js';

interface Timer {
  due: Instant;
  run: () => void;
}

export interface Environment {
  settings: Settings;
  operator: OperatorSettings;
  random: Random;
  log: Log;
}

/**
 * What the parts of the state owner share within a batch: the time of the
 * batch, effects going out, continuations of calls, and timers.
 */
export class Runtime {
  now: Instant = 0;
  /** Time of day at the batch, for what has to outlive this process. */
  today = new Date(0);
  private effects: Effect[] = [];
  private readonly waiting = new Map<number, (result: CallResult) => void>();
  private timers: Timer[] = [];
  private lastId = 0;

  constructor(readonly env: Environment) {}

  get settings(): Settings {
    return this.env.settings;
  }

  get operator(): OperatorSettings {
    return this.env.operator;
  }

  call(call: Call, done: (result: CallResult) => void): void {
    const id = ++this.lastId;
    this.waiting.set(id, done);
    this.effects.push({ kind: 'call', id, call });
  }

  reply(id: number, reply: Reply): void {
    this.effects.push({ kind: 'reply', id, reply });
  }

  beat(leader: string, token: number, stateOk: boolean): void {
    this.effects.push({ kind: 'beat', leader, token, stateOk });
  }

  settle(id: number, result: CallResult): void {
    const done = this.waiting.get(id);
    this.waiting.delete(id);
    done?.(result);
  }

  after(delay: Duration, run: () => void): void {
    this.timers.push({ due: this.now + delay, run });
  }

  /** Runs `run` now and then every `period`, until it returns false. */
  every(period: Duration, run: () => boolean): void {
    const again = () => {
      if (run()) this.after(period, again);
    };
    again();
  }

  runDue(): void {
    const due = this.timers.filter((t) => t.due <= this.now);
    if (due.length === 0) return;
    this.timers = this.timers.filter((t) => t.due > this.now);
    for (const timer of due.sort((a, b) => a.due - b.due)) timer.run();
  }

  nextDue(): Instant {
    return this.timers.reduce((least, t) => Math.min(least, t.due), Infinity);
  }

  takeEffects(): Effect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }
}
