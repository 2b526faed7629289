import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StateItem } from '@tealdock/wire';
import { PRIORITY, type Call, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { StateStore } from './state-store.js';
import type { RangeReadResult, WatchResult } from './state-results.js';

/** A state store whose calls are answered at once by `answer`. */
function storeAnsweredBy(answer: (path: string) => CallResult): StateStore {
  const runtime = {
    now: 0,
    call: (call: Call, onResult: (result: CallResult) => void) => onResult(answer(call.path)),
  } as unknown as Runtime;
  return new StateStore(runtime);
}

const ITEMS = Array.from({ length: 70 }, (_, i) => ({
  key: `a/${String(i).padStart(2, '0')}`,
  v: i,
  stamp: i + 1,
}));

/** Answers with a page, as the state service does; pages of more items than this are too large. */
function pageOf(path: string, tooLargeFrom: number): CallResult {
  const query = new URLSearchParams(path.split('?')[1]);
  const following = ITEMS.filter(({ key }) => key > (query.get('after') ?? ''));
  const items = following.slice(0, Number(query.get('most')));
  if (items.length >= tooLargeFrom) return { kind: 'too_large' };
  const body = { items, has_next: items.length < following.length, epoch: 99 };
  return { kind: 'answer', status: 200, body };
}

function readAll(tooLargeFrom: number): { read: RangeReadResult; pageCount: number } {
  let read: RangeReadResult = { kind: 'failed' };
  let pageCount = 0;
  const store = storeAnsweredBy((path) => {
    pageCount++;
    return pageOf(path, tooLargeFrom);
  });
  store.readAll('a/', PRIORITY.leader, (result) => (read = result));
  return { read, pageCount };
}

// A leader that can't read a page can't read its stored state, and so places nothing.
test('a page that is too large is read in smaller ones, and no item is missed', () => {
  for (const tooLargeFrom of [2, 3, 20, 70, 71]) {
    const { read, pageCount } = readAll(tooLargeFrom);
    assert.ok(read.kind === 'ok', `pages from ${tooLargeFrom} items are too large`);
    const keys = read.items.map(({ key }: StateItem) => key);
    assert.deepEqual(
      keys,
      ITEMS.map(({ key }) => key),
    );
    assert.ok(pageCount <= ITEMS.length + 10, `${pageCount} pages`);
  }
});

test('a single item that is too large fails the read', () => {
  assert.equal(readAll(1).read.kind, 'failed');
});

// A watch whose answer is too large was repeated from the same revision, with the same result.
test('a watch says when its changes are too many, and the service still counts as available', () => {
  let watched: WatchResult = { kind: 'failed' };
  const store = storeAnsweredBy(() => ({ kind: 'too_large' }));
  store.watch('a/', 7, 1000, (result) => (watched = result));
  assert.deepEqual(watched, { kind: 'too_many' });
  assert.equal(store.lastCallFailed, false);
});

test('a commit whose answer is too large may have been executed', () => {
  const results: string[] = [];
  const store = storeAnsweredBy(() => ({ kind: 'too_large' }));
  store.compareAndSwap([], [], PRIORITY.user, ({ kind }) => results.push(kind));
  assert.deepEqual(results, ['unknown']);
});
