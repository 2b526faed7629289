import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { Server } from 'node:net';
import { mock, test } from 'node:test';
import { listen } from '@tealdock/adapters';

/** A server whose address is taken for the first tries. */
class TakenServer extends EventEmitter {
  tries = 0;

  constructor(
    private readonly taken: number,
    private readonly code = 'EADDRINUSE',
  ) {
    super();
  }

  listen(): void {
    if (this.tries++ < this.taken)
      this.emit('error', Object.assign(new Error(), { code: this.code }));
    else this.emit('listening');
  }
}

function start(server: TakenServer): { ready: boolean; failed: boolean } {
  const seen = { ready: false, failed: false };
  mock.timers.enable({ apis: ['setTimeout'] });
  listen(server as unknown as Server, '127.0.0.1:1', {
    onListening: () => (seen.ready = true),
    onFailure: () => (seen.failed = true),
  });
  for (let i = 0; i < 5; i++) mock.timers.tick(500);
  mock.timers.reset();
  return seen;
}

// A controller that was back at once ended by itself: its port was taken for a moment.
test('a process that is back at once waits for its address', () => {
  const server = new TakenServer(3);
  assert.deepEqual(start(server), { ready: true, failed: false });
  assert.equal(server.tries, 4);
});

test('an address that can not be listened on at all ends the process', () => {
  const server = new TakenServer(1, 'EACCES');
  assert.deepEqual(start(server), { ready: false, failed: true });
});
