/**
 * Updates the computed tables of docs/CAPACITY.md from docs/capacity.json, which
 * holds the last line printed by `npm run bench -- capacity`.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {updateCapacityPage} from '../packages/bramleystage-bench/dist/index.js';

const pagePath = new URL('../docs/CAPACITY.md', import.meta.url);
const figuresPath = new URL('../docs/capacity.json', import.meta.url);
const figures = JSON.parse(readFileSync(figuresPath, 'utf8'));
writeFileSync(
	pagePath,
	updateCapacityPage(readFileSync(pagePath, 'utf8'), figures),
);
