import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {type CapacityFigures, updateCapacityPage} from '../capacity-page.js';

const readDocument = (name: string) =>
	readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8');

test('docs/CAPACITY.md matches the tables computed from the committed figures', () => {
	const figures = JSON.parse(readDocument('capacity.json')) as CapacityFigures;
	const page = readDocument('CAPACITY.md');
	expect(page).toContain('| heartbeats sent |');
	expect(updateCapacityPage(page, figures)).toBe(page);
});
