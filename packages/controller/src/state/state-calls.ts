/** Sends calls to the state service, and tracks its availability by their outcomes. */
import type { Duration, Instant } from '@tealdock/wire';
import type { CallPriority, CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

const DEFAULT_TIMEOUT_MS = 1200;
/** The service counts as unavailable once calls have failed for this long without a success. */
const UNAVAILABLE_AFTER_MS = 2500;

/** A call to the state service; by default it has no body and changes no key. */
export interface StateCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  priority: CallPriority;
  body?: unknown;
  writeCount?: number;
  timeout?: Duration;
}

/** Calls of one node to the state service. */
export class StateCalls {
  /** Time of the first failure since the last successful call; null without one. */
  private failingFrom: Instant | null = null;

  constructor(private readonly runtime: Runtime) {}

  /** False once calls have failed for some time without a success. */
  get isAvailable(): boolean {
    return this.failingFrom === null || this.runtime.now - this.failingFrom < UNAVAILABLE_AFTER_MS;
  }

  /** True from a failed call until the next successful one. */
  get lastCallFailed(): boolean {
    return this.failingFrom !== null;
  }

  /** Sends a call and passes its outcome to the callback, in a later batch of commands. */
  send(call: StateCall, onResult: (result: CallResult) => void): void {
    const {
      method,
      path,
      priority,
      body = null,
      writeCount = 0,
      timeout = DEFAULT_TIMEOUT_MS,
    } = call;
    this.runtime.call(
      { target: 'state', to: '', method, path, body, priority, writeCount, timeout },
      (result) => {
        this.recordOutcome(result);
        onResult(result);
      },
    );
  }

  /**
   * No answer or a 5xx is a failure, an answer that is too large is none; a 429 (rate limit) says
   * nothing about availability.
   */
  private recordOutcome(result: CallResult): void {
    if (result.kind === 'too_large') this.failingFrom = null;
    else if (result.kind !== 'answer' || result.status >= 500)
      this.failingFrom ??= this.runtime.now;
    else if (result.status !== 429) this.failingFrom = null;
  }
}
