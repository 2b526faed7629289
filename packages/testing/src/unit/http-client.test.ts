import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { HttpClient, splitAddress } from '@tealdock/adapters';
import type { CallResult } from '@tealdock/controller';
import { packBody } from '@tealdock/wire';
import { LOOPBACK } from '../soak/loopback.js';

/** The results of a call to a server with this answer. */
async function resultOf(
  status: number,
  payload: Buffer,
  maxAnswerBytes?: number,
): Promise<CallResult> {
  const server = createServer((_req, res) => res.writeHead(status).end(payload));
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(1);
  const call = { host: LOOPBACK, port, method: 'GET', path: '/', body: null, timeout: 5000 };
  const result = await client.request({ ...call, maxAnswerBytes });
  client.close();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return result;
}

const TEXT = packBody('x'.repeat(1000));
/** Announces a list of 32 million elements. */
const ANNOUNCED_LIST = Buffer.from([0xdd, 0x01, 0xff, 0xff, 0xff]);
const INDEX_KEYS = packBody(Array.from({ length: 1000 }, () => ({ 999: null })));

test('an answer up to the limit is read, a longer one is too large', async () => {
  const body = 'x'.repeat(1000);
  const answer = { kind: 'answer', status: 200, body };
  assert.deepEqual(await resultOf(200, TEXT, TEXT.length), answer);
  assert.deepEqual(await resultOf(200, TEXT, TEXT.length - 1), { kind: 'too_large' });
  assert.deepEqual(await resultOf(200, Buffer.alloc(2 ** 20 + 1)), { kind: 'too_large' });
});

test('an answer that takes too much memory is too large, one that is malformed is lost', async () => {
  assert.deepEqual(await resultOf(200, INDEX_KEYS), { kind: 'too_large' });
  assert.deepEqual(await resultOf(200, ANNOUNCED_LIST), { kind: 'lost' });
});

// An error says that nothing was executed, whatever its body is.
test('an error keeps its status without a readable body', async () => {
  const error = { kind: 'answer', status: 503, body: null };
  assert.deepEqual(await resultOf(503, TEXT, 10), error);
  assert.deepEqual(await resultOf(503, INDEX_KEYS), error);
  assert.deepEqual(await resultOf(503, ANNOUNCED_LIST), error);
});

// A worker that reported the address "10.0.0.1:1.5" ended the leader that sent it a stop.
test('a call to an address that is none is not sent, and throws nothing', async () => {
  const client = new HttpClient(1);
  const invalid = ['', 'a', 'a:', ':1', 'a:0', 'a:1.5', 'a:65536', 'a\nb:1', 'a b:1', 'é€:1'];
  for (const address of [...invalid, '\u0000:1', '[::1\r\nx: y]:1']) {
    const call = { ...splitAddress(address), method: 'POST', path: '/', body: {}, timeout: 1000 };
    assert.deepEqual(await client.request(call), { kind: 'unsent' }, JSON.stringify(address));
  }
  client.close();
});
