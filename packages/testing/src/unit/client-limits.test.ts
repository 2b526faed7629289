import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Connections, MemoryBudget } from '@tealdock/adapters';

// Two connections that sent request after request without waiting ended a controller: out of memory.
test('a client that waits for no answer is found, one that does is not', () => {
  const shares = { clients: 10, workers: 8, rejected: 2 };
  const connections = new Connections(shares, 5000, () => 0);
  const socket = { destroy: () => undefined };
  connections.connectionOpened(socket);
  for (let i = 0; i < 100; i++) {
    connections.admitRequest(socket, 'user');
    assert.equal(connections.isPipelining(socket), false);
    connections.requestAnswered(socket);
  }
  let unansweredCount = 0;
  while (!connections.isPipelining(socket)) {
    connections.admitRequest(socket, 'user');
    unansweredCount++;
    assert.ok(unansweredCount < 10, 'never found');
  }
  connections.connectionClosed(socket);
  assert.equal(connections.isPipelining(socket), false);
});

test('a memory budget refuses what exceeds it, keeps nothing of that, and can be used again', () => {
  const budget = new MemoryBudget(100);
  assert.equal(budget.reserve(60), true);
  assert.equal(budget.reserve(41), false);
  assert.equal(budget.reserve(40), true);
  assert.equal(budget.reserve(1), false);
  budget.release(60);
  assert.equal(budget.reserve(60), true);
});
