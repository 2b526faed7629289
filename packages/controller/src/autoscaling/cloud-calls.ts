/** Calls to the cloud on behalf of one term. */
import type { Call, CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermStatus } from '../term/term-view.js';

/** How long the cloud may take for an answer. */
export const CLOUD_CALL_TIMEOUT_MS = 4000;

/** What differs from call to call. */
export type CloudCall = Pick<Call, 'method' | 'path' | 'body' | 'priority'>;

/** Sends calls to the cloud; results that come after the term are dropped. */
export class CloudCalls {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermStatus,
  ) {}

  /** Sends a call; a callback, since results are processed within turns of the state owner. */
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
