/** Walks through a MessagePack value without decoding it, to hold it to the decoding bound. */
import { DecodingBound } from './decoding-bound.js';
import { WireError } from './errors.js';

/** How the bytes after a value's first one are to be read. */
type Layout =
  | { kind: 'constant' }
  | { kind: 'number'; byteCount: number }
  /** Bytes of this length follow, after `typeBytes` bytes of an extension's type. */
  | { kind: 'binary'; lengthBytes: number; typeBytes: number }
  | { kind: 'text'; lengthBytes: number }
  | { kind: 'list'; lengthBytes: number }
  | { kind: 'map'; lengthBytes: number };

const CONSTANT: Layout = { kind: 'constant' };
const number = (byteCount: number): Layout => ({ kind: 'number', byteCount });
const binary = (lengthBytes: number): Layout => ({ kind: 'binary', lengthBytes, typeBytes: 0 });
const extension = (lengthBytes: number): Layout => ({ kind: 'binary', lengthBytes, typeBytes: 1 });
const text = (lengthBytes: number): Layout => ({ kind: 'text', lengthBytes });
const list = (lengthBytes: number): Layout => ({ kind: 'list', lengthBytes });
const map = (lengthBytes: number): Layout => ({ kind: 'map', lengthBytes });

const FIRST_LAYOUT = 0xc0;
/** Layouts of the values that begin with a byte from 0xc0 to 0xdf, in this order. */
const LAYOUTS: readonly (Layout | null)[] = [
  // nil, never used, false, true
  ...[CONSTANT, null, CONSTANT, CONSTANT],
  ...[binary(1), binary(2), binary(4)],
  ...[extension(1), extension(2), extension(4)],
  // float 32 and 64, uint 8 to 64, int 8 to 64
  ...[number(4), number(8)],
  ...[number(1), number(2), number(4), number(8)],
  ...[number(1), number(2), number(4), number(8)],
  // extensions of 1 to 16 bytes, with a byte for their type
  ...[number(2), number(3), number(5), number(9), number(17)],
  ...[text(1), text(2), text(4)],
  ...[list(2), list(4)],
  ...[map(2), map(4)],
];

/** Throws `WireError` for bytes that may not be decoded, or are not one MessagePack value. */
export function checkMessagePack(bytes: Uint8Array): void {
  walkValue(new DecodingBound(bytes));
}

function walkValue(bound: DecodingBound): void {
  bound.beginValue();
  const head = bound.readByte();
  if (head <= 0x7f || head >= 0xe0) return;
  if (head <= 0x8f) return walkMap(bound, head & 0x0f);
  if (head <= 0x9f) return walkList(bound, head & 0x0f);
  if (head <= 0xbf) return bound.skipText(head & 0x1f);
  walkLayout(bound, layoutOf(head));
}

function layoutOf(head: number): Layout {
  const layout = LAYOUTS[head - FIRST_LAYOUT];
  if (!layout) throw new WireError(`no MessagePack value begins with byte ${head}`);
  return layout;
}

function walkLayout(bound: DecodingBound, layout: Layout): void {
  switch (layout.kind) {
    case 'constant':
      return;
    case 'number':
      return bound.skipNumber(layout.byteCount);
    case 'binary':
      return bound.skipText(bound.readUnsigned(layout.lengthBytes) + layout.typeBytes);
    case 'text':
      return bound.skipText(bound.readUnsigned(layout.lengthBytes));
    case 'list':
      return walkList(bound, bound.readUnsigned(layout.lengthBytes));
    case 'map':
      return walkMap(bound, bound.readUnsigned(layout.lengthBytes));
  }
}

function walkList(bound: DecodingBound, elementCount: number): void {
  bound.enter(elementCount);
  for (let i = 0; i < elementCount; i++) walkValue(bound);
  bound.leave();
}

function walkMap(bound: DecodingBound, entryCount: number): void {
  bound.enterMap(entryCount);
  for (let i = 0; i < entryCount; i++) {
    walkKey(bound);
    walkValue(bound);
  }
  bound.leave();
}

function walkKey(bound: DecodingBound): void {
  bound.beginValue();
  const head = bound.readByte();
  if (head >= 0xa0 && head <= 0xbf) return bound.skipKeyText(head & 0x1f);
  const layout = head >= FIRST_LAYOUT ? LAYOUTS[head - FIRST_LAYOUT] : null;
  if (layout?.kind !== 'text') throw new WireError('a key of a map is not a text');
  bound.skipKeyText(bound.readUnsigned(layout.lengthBytes));
}
