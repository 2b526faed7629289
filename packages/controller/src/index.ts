export * from './ports.js';
export * from './controller.js';
export * from './stats.js';
export type { Environment } from './runtime.js';
export * from './sockets.js';
export { whyTooShort } from './news.js';
