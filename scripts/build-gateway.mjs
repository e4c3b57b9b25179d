/**
 * Builds the platform's gateway: its bundle, the V8 code cache of the bundle, and
 * the launcher that loads both. Run it with the same Node.js flags as the gateway,
 * because V8 rejects a code cache that was created under other flags. The optional
 * argument is the output directory, `target` by default.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import v8 from 'node:v8';
import {Script} from 'node:vm';
import {build, transform} from 'esbuild';

const toPath = (relative) =>
	fileURLToPath(new URL(`../${relative}`, import.meta.url));

/**
 * Bundles a module as CommonJS. Some dependencies contain a top-level `await`,
 * which CommonJS does not allow. They are unused, so the first step bundles as an
 * ES module, where tree shaking removes them, and the second converts the result.
 */
async function buildCommonJs(entryPoint) {
	const {outputFiles} = await build({
		entryPoints: [toPath(entryPoint)],
		bundle: true,
		minify: true,
		platform: 'node',
		target: 'node20',
		format: 'esm',
		logLevel: 'warning',
		write: false,
		// The native addon of cbor-x cannot be bundled.
		define: {'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"'},
		alias: {
			bramleystage: toPath('packages/bramleystage/src/index.ts'),
			'bramleystage-gateway': toPath(
				'packages/bramleystage-gateway/src/index.ts',
			),
			// For Node.js the package resolves to its CommonJS build, which cannot be tree-shaken.
			rxjs: toPath('node_modules/rxjs/dist/esm/index.js'),
		},
	});
	const {code} = await transform(outputFiles[0].text, {
		minify: true,
		format: 'cjs',
		platform: 'node',
	});
	return code;
}

/** Builds the V8 code cache. Lazy compilation is off, so that the cache covers every function, not only those already called. */
function buildCachedData(text, filename) {
	v8.setFlagsFromString('--no-lazy');
	const script = new Script(text, {filename});
	v8.setFlagsFromString('--lazy');
	return script.createCachedData();
}

const bundle = await buildCommonJs('platform/src/main.ts');
const code = `(function(module,require){${bundle}\n})`;
const directory = path.resolve(process.argv[2] ?? toPath('target'));
const codePath = path.join(directory, 'gateway-code.js');
mkdirSync(directory, {recursive: true});
writeFileSync(codePath, code);
writeFileSync(`${codePath}.cache`, buildCachedData(code, codePath));
writeFileSync(
	path.join(directory, 'gateway.cjs'),
	await buildCommonJs('platform/src/launch.ts'),
);
