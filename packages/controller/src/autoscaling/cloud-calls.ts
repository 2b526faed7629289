/** Calls to the cloud on behalf of one term. */
import type { Call, CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermStatus } from '../term/term-view.js';

/** Timeout of a call to the cloud. */
export const CLOUD_CALL_TIMEOUT_MS = 4000;

/** The parts of a call that callers set. */
export type CloudCall = Pick<Call, 'method' | 'path' | 'body' | 'priority'>;

/** Sends calls to the cloud. Results that arrive after the end of the term are dropped. */
export class CloudCalls {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermStatus,
  ) {}

  /** Takes a callback, not a promise: the state owner processes results within its batches. */
  send(cloudCall: CloudCall, onResult: (result: CallResult) => void): void {
    const call: Call = {
      ...cloudCall,
      target: 'cloud',
      to: '',
      writeCount: 0,
      timeout: CLOUD_CALL_TIMEOUT_MS,
    };
    this.runtime.call(call, (result) => {
      if (!this.term.closed) onResult(result);
    });
  }
}
