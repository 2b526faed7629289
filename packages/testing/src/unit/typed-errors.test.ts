import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  PeerDecoder,
  PeerProtocolError,
  SettingsError,
  WireError,
  packPeerMessage,
  parseItem,
  parseOperatorSettings,
  parseSettings,
  unpackBody,
} from '@tealdock/wire';

/** A frame as `packPeerMessage` makes it, with these bytes as its record. */
function frame(kind: number, record: Buffer, length = record.length): Buffer {
  const header = Buffer.alloc(5);
  header.writeUInt32BE(length, 0);
  header.writeUInt8(kind, 4);
  return Buffer.concat([header, record]);
}

/** The error that a call throws; fails the test if it throws none. */
function thrownBy(run: () => unknown): Error {
  try {
    run();
  } catch (error) {
    return error as Error;
  }
  assert.fail('nothing was thrown');
}

test('malformed frames of a peer are protocol errors, with the cause if there is one', () => {
  const push = (bytes: Buffer) => thrownBy(() => new PeerDecoder().push(bytes));
  const unknownKind = push(frame(9, Buffer.alloc(1)));
  const tooLong = push(frame(0, Buffer.alloc(1), 300 * 1024));
  const truncated = push(frame(0, Buffer.from([20, 1])));
  for (const error of [unknownKind, tooLong, truncated]) {
    assert.ok(error instanceof PeerProtocolError, String(error));
  }
  assert.match(truncated.message, /^malformed heartbeat frame: /);
  assert.ok(truncated.cause instanceof Error);
});

test('a frame in pieces is decoded once it is complete', () => {
  const bytes = packPeerMessage({ kind: 'answer', id: 1, status: 200, body: Buffer.from('b') });
  const decoder = new PeerDecoder();
  assert.deepEqual(decoder.push(bytes.subarray(0, 3)), []);
  assert.equal(decoder.push(bytes.subarray(3)).length, 1);
});

test('malformed bodies are wire errors', () => {
  assert.ok(thrownBy(() => unpackBody(Buffer.from([0xc1]))) instanceof WireError);
  const error = thrownBy(() => parseItem({ key: 'k', v: 1, stamp: -1 }));
  assert.ok(error instanceof WireError);
  assert.match(error.message, /^stamp: /);
  assert.ok(error.cause instanceof Error);
});

test('invalid settings are settings errors that name the setting', () => {
  const notToml = thrownBy(() => parseSettings('member = '));
  assert.ok(notToml instanceof SettingsError);
  assert.match(notToml.message, /^not TOML: /);
  assert.ok(notToml.cause instanceof Error);
  const wrong = thrownBy(() => parseOperatorSettings('[fleet]\nboot_patience = 0.1'));
  assert.ok(wrong instanceof SettingsError);
  assert.match(wrong.message, /^fleet\.boot_patience: /);
});
