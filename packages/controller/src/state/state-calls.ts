/** Sends calls to the state service, and judges its availability by their outcomes. */
import type { Duration, Instant } from '@tealdock/wire';
import type { CallPriority, CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';

const DEFAULT_TIMEOUT_MS = 1200;
/** The service counts as unavailable once calls have been failing for this long. */
const UNAVAILABLE_AFTER_MS = 2500;

/** A call to the state service; it changes no key and has no body unless they are given. */
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
  private failingFrom: Instant | null = null;

  constructor(private readonly runtime: Runtime) {}

  /** False once calls have been refused or without an answer for some time. */
  get isAvailable(): boolean {
    return this.failingFrom === null || this.runtime.now - this.failingFrom < UNAVAILABLE_AFTER_MS;
  }

  /** True as soon as the newest call has failed. */
  get lastCallFailed(): boolean {
    return this.failingFrom !== null;
  }

  /** Sends a call; its outcome comes to the callback, in a later batch. */
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

  /** A refusal for want of capacity (429) says nothing about the service's health. */
  private recordOutcome(result: CallResult): void {
    if (result.kind !== 'answer' || result.status >= 500) this.failingFrom ??= this.runtime.now;
    else if (result.status !== 429) this.failingFrom = null;
  }
}
