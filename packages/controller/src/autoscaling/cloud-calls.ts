/** Calls to the cloud on behalf of one term. */
import type { CallPriority, CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermStatus } from '../term/term-view.js';

/** How long the cloud may take for an answer. */
export const CLOUD_CALL_TIMEOUT_MS = 4000;

/** Sends calls to the cloud; answers that come after the term are dropped. */
export class CloudCalls {
  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermStatus,
  ) {}

  send(
    method: string,
    path: string,
    body: unknown,
    priority: CallPriority,
    done: (r: CallResult) => void,
  ): void {
    const call = {
      target: 'cloud' as const,
      to: '',
      method,
      path,
      body,
      priority,
      writeCount: 0,
      timeout: CLOUD_CALL_TIMEOUT_MS,
    };
    this.runtime.call(call, (result) => {
      if (!this.term.closed) done(result);
    });
  }
}
