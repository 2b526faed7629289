import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { Server } from 'node:net';
import { mock, test } from 'node:test';
import { listen } from '@tealdock/adapters';

/** A server whose first `failureCount` attempts to listen fail. */
class BusyAddressServer extends EventEmitter {
  attemptCount = 0;

  constructor(
    private readonly failureCount: number,
    private readonly code = 'EADDRINUSE',
  ) {
    super();
  }

  listen(): void {
    if (this.attemptCount++ < this.failureCount)
      this.emit('error', Object.assign(new Error(), { code: this.code }));
    else this.emit('listening');
  }
}

function startListening(server: BusyAddressServer): { ready: boolean; failed: boolean } {
  const outcome = { ready: false, failed: false };
  mock.timers.enable({ apis: ['setTimeout'] });
  listen(server as unknown as Server, '127.0.0.1:1', {
    onListening: () => (outcome.ready = true),
    onFailure: () => (outcome.failed = true),
  });
  for (let i = 0; i < 5; i++) mock.timers.tick(500);
  mock.timers.reset();
  return outcome;
}

// A controller exited after a quick restart, because its port was still in use for a moment.
test('a process retries while its address is in use', () => {
  const server = new BusyAddressServer(3);
  assert.deepEqual(startListening(server), { ready: true, failed: false });
  assert.equal(server.attemptCount, 4);
});

test('any other listen error is reported as a failure without a retry', () => {
  const server = new BusyAddressServer(1, 'EACCES');
  assert.deepEqual(startListening(server), { ready: false, failed: true });
});
